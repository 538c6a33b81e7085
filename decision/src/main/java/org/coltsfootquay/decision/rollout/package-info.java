/**
 * Roll-outs: the traffic of a service moves to servers of another version, and back if that version is bad.
 *
 * <p>Free of input and output; see {@code docs/design/rollouts.md}.
 */
package org.coltsfootquay.decision.rollout;
