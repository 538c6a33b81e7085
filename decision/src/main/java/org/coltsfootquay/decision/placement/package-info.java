/** Selection of the owner that a request is queued at. */
package org.coltsfootquay.decision.placement;
