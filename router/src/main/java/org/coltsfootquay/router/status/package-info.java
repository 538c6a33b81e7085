/** Small HTTP answers of the router itself: readiness, addresses for callers, metrics. */
package org.coltsfootquay.router.status;
