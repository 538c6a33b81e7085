/** Validated settings of a router process and the JSON format of the fleet configuration. */
package org.coltsfootquay.router.settings;
