/** Commands that talk to the operator interface of a router. */
package org.coltsfootquay.cli.operator;
