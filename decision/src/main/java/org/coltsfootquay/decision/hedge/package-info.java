/** Hedged requests: late requests that are sent to a second server within a limit of extra work. */
package org.coltsfootquay.decision.hedge;
