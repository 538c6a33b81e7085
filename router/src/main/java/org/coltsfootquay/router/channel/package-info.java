/** Helpers for Netty channels that the transports share. */
package org.coltsfootquay.router.channel;
