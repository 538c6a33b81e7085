/** Immutable fleet configuration, its versions and their activation. */
package org.coltsfootquay.decision.configuration;
