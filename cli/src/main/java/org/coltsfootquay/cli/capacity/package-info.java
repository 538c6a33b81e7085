/** Capacity measurement: slopes of control cost over sizes, for {@code docs/CAPACITY.md}. */
package org.coltsfootquay.cli.capacity;
