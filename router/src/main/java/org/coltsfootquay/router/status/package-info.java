/** HTTP status pages of a router: readiness, addresses for callers and metrics. */
package org.coltsfootquay.router.status;
