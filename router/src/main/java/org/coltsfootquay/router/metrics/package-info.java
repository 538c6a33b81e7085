/** Metrics of a router and their text forms. */
package org.coltsfootquay.router.metrics;
