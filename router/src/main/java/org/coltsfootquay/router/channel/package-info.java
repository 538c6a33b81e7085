/** Utilities for Netty channels that all transports share. */
package org.coltsfootquay.router.channel;
