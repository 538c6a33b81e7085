/** Ports to the platform: table service, object store and VM list. */
package org.coltsfootquay.decision.store;
