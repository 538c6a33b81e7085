/** Logging of one {@code event=... key=value} line per event. */
package org.coltsfootquay.router.log;
