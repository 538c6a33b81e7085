/** Processing of requests at their entry router: one state machine per request that maps events to actions. */
package org.coltsfootquay.decision.request;
