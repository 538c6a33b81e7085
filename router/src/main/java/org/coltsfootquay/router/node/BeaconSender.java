package org.coltsfootquay.router.node;

import java.net.InetSocketAddress;

/** Sends datagrams. */
interface BeaconSender {

    /**
     * Sends a datagram; it may be lost.
     *
     * @param beacon content
     * @param to receiver
     */
    void send(byte[] beacon, InetSocketAddress to);
}
