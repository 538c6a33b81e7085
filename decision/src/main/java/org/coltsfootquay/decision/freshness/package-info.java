/** How long ago the copy of a table was last known to be current. */
package org.coltsfootquay.decision.freshness;
