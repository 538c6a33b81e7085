/** Entry router side of a request: one state machine a request, events in, actions out. */
package org.coltsfootquay.decision.request;
