/** Client of the platform: table service, object store and VM list over HTTP. */
package org.coltsfootquay.router.platform;
