/** Entry side of a router: reads callers' requests, runs their flows and carries out the flows' actions. */
package org.coltsfootquay.router.entry;
