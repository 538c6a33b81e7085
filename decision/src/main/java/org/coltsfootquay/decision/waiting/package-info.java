/** Decisions on requests that wait at a router until a server has room; free of input and output. */
package org.coltsfootquay.decision.waiting;
