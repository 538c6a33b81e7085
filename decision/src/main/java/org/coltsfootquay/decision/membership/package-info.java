/** Members of the fleet, the router's own lease, and ranks in the aggregation tree. */
package org.coltsfootquay.decision.membership;
