/** Metrics of a router and their output formats. */
package org.coltsfootquay.router.metrics;
