/** Immutable fleet configuration and its versions. */
package org.coltsfootquay.decision.configuration;
