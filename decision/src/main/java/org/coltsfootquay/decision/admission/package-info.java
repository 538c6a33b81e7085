/** Decides at once whether a request of a workspace is sent or refused while servers are busy. */
package org.coltsfootquay.decision.admission;
