/** Router that forwards requests directly to backend servers: assembly, beacons and settings. */
package org.coltsfootquay.router.node;
