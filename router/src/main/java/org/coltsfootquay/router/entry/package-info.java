/** Entry side of a router: parses callers' requests, runs their flows and performs the actions of the flows. */
package org.coltsfootquay.router.entry;
