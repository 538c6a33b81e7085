/** Load generator: callers that send requests to a fleet, check each answer and record what they saw. */
package org.coltsfootquay.cli.load;
