package org.coltsfootquay.router.node;

import java.net.InetSocketAddress;

/** Sends beacons as datagrams. */
interface BeaconSender {

    /**
     * Sends a beacon, which may be lost.
     *
     * @param beacon serialized beacon
     * @param recipient address of the recipient
     */
    void send(byte[] beacon, InetSocketAddress recipient);
}
