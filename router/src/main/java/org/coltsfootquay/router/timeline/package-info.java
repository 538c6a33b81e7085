/** Timeline of one process: a ring buffer of recorded events and its JSON lines format. */
package org.coltsfootquay.router.timeline;
