/** Decisions of a router: no input or output, no system clock, no threads; every class is driven from outside. */
package org.coltsfootquay.decision;
