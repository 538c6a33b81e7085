/** Admission control: decides without queueing whether a request is dispatched or rejected while servers are busy. */
package org.coltsfootquay.decision.admission;
