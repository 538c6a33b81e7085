/** Client of backend servers: connection pools, streamed answers with back pressure, cancel, resume and load reads. */
package org.coltsfootquay.router.backend;
