/** Decision logic of a router: no input or output, no system clock and no threads; callers pass in all events. */
package org.coltsfootquay.decision;
