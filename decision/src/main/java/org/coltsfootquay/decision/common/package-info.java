/** Identifiers and argument checks shared by the decision packages. */
package org.coltsfootquay.decision.common;
