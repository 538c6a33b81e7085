package org.coltsfootquay.router.channel;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Response that a decoder has emitted, for tests that compare decoders and inputs. */
final class DecodedResponse {

    private final String head;
    private final StringBuilder body = new StringBuilder();
    private String trailers = "";
    private String failure = "";
    private boolean complete;

    private DecodedResponse(String head) {
        this.head = head;
    }

    /** Status line and headers, empty for a malformed head. */
    String head() {
        return head;
    }

    String trailers() {
        return trailers;
    }

    /** Message of the decoder's error, empty for a well-formed response. */
    String failure() {
        return failure;
    }

    @Override
    public String toString() {
        return head + " body=" + body + " trailers=" + trailers + " failure=" + failure + " complete=" + complete;
    }

    /** Decodes input that arrives in pieces and ends with the connection. */
    static List<DecodedResponse> decode(HttpResponseDecoder decoder, List<String> pieces) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        for (String piece : pieces) {
            channel.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
        }
        channel.finish();
        List<DecodedResponse> responses = new ArrayList<>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                boolean failed = response.decoderResult().isFailure();
                responses.add(new DecodedResponse(failed ? "" : describe(response)));
            }
            if (message instanceof HttpObject object) {
                responses.get(responses.size() - 1).add(object);
            }
            ReferenceCountUtil.release(message);
        }
        return responses;
    }

    /** Splits input into its bytes. */
    static List<String> bytes(String input) {
        return List.of(input.split(""));
    }

    private static String describe(HttpResponse response) {
        return response.protocolVersion() + " " + response.status() + " "
                + response.headers().entries();
    }

    private void add(HttpObject object) {
        if (object.decoderResult().isFailure()) {
            failure = object.decoderResult().cause().getMessage();
            return;
        }
        if (object instanceof HttpContent content) {
            body.append(content.content().toString(StandardCharsets.ISO_8859_1));
        }
        if (object instanceof LastHttpContent last) {
            trailers = last.trailingHeaders().entries().toString();
            complete = true;
        }
    }
}
