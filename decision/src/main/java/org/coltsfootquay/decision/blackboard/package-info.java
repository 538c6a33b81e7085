/** Publish-subscribe registry of immutable snapshots that controllers write and the request path reads. */
package org.coltsfootquay.decision.blackboard;
