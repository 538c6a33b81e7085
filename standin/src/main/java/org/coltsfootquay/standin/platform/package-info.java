/** Stand-in for the platform: table service, object store and VM list. */
package org.coltsfootquay.standin.platform;
