/** Logs of one {@code event=... key=value} line per event, and the in-memory time line. */
package org.coltsfootquay.router.log;
