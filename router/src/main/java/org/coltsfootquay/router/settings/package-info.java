/** Checked settings of a router process and the JSON form of the fleet configuration. */
package org.coltsfootquay.router.settings;
