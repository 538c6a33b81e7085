package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what happens on a server connection to the request that is in progress there. */
interface ServerAnswerListener {

    /**
     * The status line and headers have arrived.
     *
     * @param response response without body
     * @param facts what the headers say
     */
    void answerBegins(HttpResponse response, AnswerFacts facts);

    /**
     * Bytes of the body have arrived.
     *
     * @param bytes bytes, valid only during the call
     */
    void answerBytes(ByteBuf bytes);

    /** The answer is complete. */
    void answerEnds();

    /**
     * The answer will not be completed.
     *
     * @param cause what happened to the connection
     */
    void answerBreaks(String cause);
}
