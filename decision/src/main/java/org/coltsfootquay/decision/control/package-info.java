/** Composition of the controllers that a router runs on its control thread. */
package org.coltsfootquay.decision.control;
