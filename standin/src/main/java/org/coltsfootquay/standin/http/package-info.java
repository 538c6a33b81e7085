/** Small HTTP server on Netty that all stand-ins share. */
package org.coltsfootquay.standin.http;
