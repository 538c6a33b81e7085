/** Fleet membership, the router's own lease, and the ranks in the aggregation tree. */
package org.coltsfootquay.decision.membership;
