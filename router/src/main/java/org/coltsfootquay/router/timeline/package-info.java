/** Time line of one process: a bounded buffer of recorded decisions and its JSON lines. */
package org.coltsfootquay.router.timeline;
