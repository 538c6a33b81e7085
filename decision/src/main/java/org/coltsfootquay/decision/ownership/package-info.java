/** Ownership of backend servers by routers: claims, fencing numbers, shares and handovers. */
package org.coltsfootquay.decision.ownership;
