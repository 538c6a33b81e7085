/** Which router owns which backend server: claims, fencing numbers, shares and handovers. */
package org.coltsfootquay.decision.ownership;
