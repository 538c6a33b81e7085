/**
 * Client of backend servers: connection pools, streamed responses with back pressure, cancellation, stream resumption
 * and load reports.
 */
package org.coltsfootquay.router.backend;
