/** Measurement of the policy: the decision library on a fake clock, with fake engines. */
package org.coltsfootquay.cli.measure;
