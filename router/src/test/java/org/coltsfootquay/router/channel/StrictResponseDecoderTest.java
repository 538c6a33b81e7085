package org.coltsfootquay.router.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two responses that are decoded as one. */
final class StrictResponseDecoderTest {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_BYTES = 65536;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content-Length: 5\r\n\r\nhello",
                OK + EMPTY,
                "HTTP/1.1 200 \r\n" + EMPTY,
                "HTTP/1.1 200\r\n" + EMPTY,
                "HTTP/1.1 404 Not Found At All\r\n" + EMPTY,
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.0 200 OK\r\n\r\nhello",
                OK + "Connection: close\r\n\r\nhello",
                OK + "X-Empty:\r\nX-Wide: \t a  b \t\r\nx-id: HTTP/1.1\r\nVia: HTTP/1.1 proxy\r\n" + EMPTY,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK + EMPTY,
                "HTTP/1.1 204 No Content\r\n\r\n" + OK + EMPTY,
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n" + OK + EMPTY,
                CHUNKED + "0\r\n\r\n",
                CHUNKED + "5\r\nhello\r\n00A;name=value;other=\"quoted\"\r\nhellohello\r\n0\r\n\r\n",
                CHUNKED + "5\r\nhello\r\n0;last\r\nX-Digest: a\r\nX-Count: 2\r\n\r\n" + OK + EMPTY,
                OK + "transfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                OK + "Content-Length: 19\r\n\r\nHTTP/1.1 500 Error\n" + OK + EMPTY,
                CHUNKED + "13\r\nHTTP/1.1 500 Error\n\r\n16\r\n\n folded: HTTP/1.1 50\n\r\n0\r\nX-Count: 2\r\n\r\n",
                OK + "\r\nHTTP/1.1 500 Error\r\n folded\r\n",
                OK + "Content-Length: 5\r\n\r\nhel",
                CHUNKED + "5\r\nhel"
            })
    void wellFormedResponsesAreDecodedAsByTheSuperclass(String input) {
        List<DecodedResponse> expected = lenient(List.of(input));
        expected.forEach(response -> assertEquals("", response.failure()));
        assertEquals(expected.toString(), strict(List.of(input)).toString());
    }

    @ParameterizedTest
    @MethodSource("completeResponses")
    void responsesAreDecodedAsByTheSuperclassWhenFedByteByByte(String response) {
        List<String> pieces = DecodedResponse.bytes(response + response);
        assertEquals(lenient(pieces).toString(), strict(pieces).toString());
    }

    @ParameterizedTest
    @MethodSource("malformedHeads")
    void malformedHeadIsRejected(String defect, String head) {
        for (List<String> pieces : List.of(List.of(head), DecodedResponse.bytes(head))) {
            List<DecodedResponse> decoded = strict(pieces);
            assertEquals(1, decoded.size(), decoded::toString);
            assertEquals(defect, decoded.get(0).failure());
            assertEquals("", decoded.get(0).head());
        }
    }

    static Stream<Arguments> malformedHeads() {
        String version = "version other than HTTP/1.0 and HTTP/1.1";
        String status = "status that is not between 100 and 599";
        String leading = "bytes before the status line";
        String statusLine = "malformed status line";
        String joined = "status line within a head or trailers";
        String space = "white space in a header name";
        String folded = "folded header line";
        String coding = "transfer coding other than chunked";
        String invalid = "malformed head: invalid line";
        String separator = "malformed head: InvalidLineSeparatorException";
        return Stream.of(
                Arguments.of(version, "HTTP/1.2 200 OK\r\n" + EMPTY),
                Arguments.of(version, "HTTP/2.0 200 OK\r\n" + EMPTY),
                Arguments.of(version, "HTTP/1.10 200 OK\r\n" + EMPTY),
                Arguments.of(version, "Http/1.1 200 OK\r\n" + EMPTY),
                Arguments.of(version, "HHTTP/1.1 200 OK\r\n" + EMPTY),
                Arguments.of(version, "Hello\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 099 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 600 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 20 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 0200 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 +20 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 2x0 OK\r\n" + EMPTY),
                Arguments.of(status, "HTTP/1.1 HTTP/1.1 500 Error\r\n" + EMPTY),
                Arguments.of(statusLine, "HTTP/1.1  200 OK\r\n" + EMPTY),
                Arguments.of(statusLine, "HTTP/1.1\t200 OK\r\n" + EMPTY),
                Arguments.of(statusLine, "HTTP/1.1 200\tOK\r\n" + EMPTY),
                Arguments.of(leading, " " + OK + EMPTY),
                Arguments.of(leading, "\r\n" + OK + EMPTY),
                Arguments.of(leading, "\0" + OK + EMPTY),
                Arguments.of(leading, "hello" + OK + EMPTY),
                Arguments.of(joined, "HTTP/1.1 200 HTTP/1.1 500 Error\r\n" + EMPTY),
                Arguments.of(joined, "HTTP/1.1 200 OHTTP/1.1 500\r\n" + EMPTY),
                Arguments.of(joined, OK + "X-Id: HTTP/1.0 500 Error\r\n" + EMPTY),
                Arguments.of(joined, OK + "X-Id: aHTTP/1.1 2HTTP/1.1 500\r\n" + EMPTY),
                Arguments.of(space, OK + "HTTP/1.1 500: Error\r\n" + EMPTY),
                Arguments.of(space, OK + "HTTP/1.1 500 Error\r\n" + EMPTY),
                Arguments.of(space, OK + "X Id: a\r\n" + EMPTY),
                Arguments.of(space, OK + "X-Id : a\r\n" + EMPTY),
                Arguments.of(space, OK + " X-Id: a\r\n" + EMPTY),
                Arguments.of(invalid, OK + ": a\r\n" + EMPTY),
                Arguments.of(invalid, OK + "X/Id: a\r\n" + EMPTY),
                Arguments.of(invalid, OK + "X-Id\r\n" + EMPTY),
                Arguments.of(folded, OK + "X-Id: a\r\n X-Seal: b\r\n" + EMPTY),
                Arguments.of(folded, OK + "X-Id: a\r\n\tb\r\n" + EMPTY),
                Arguments.of(separator, "HTTP/1.1 200 OK\n" + EMPTY),
                Arguments.of(separator, OK + "X-Id: a\n" + EMPTY),
                Arguments.of(separator, OK + "Content-Length: 0\r\n\n"),
                Arguments.of(invalid, "HTTP/1.1 200 O\rK\r\n" + EMPTY),
                Arguments.of(invalid, OK + "X-Id: a\rb\r\n" + EMPTY),
                Arguments.of(invalid, OK + "X-Id: a\r\r\n" + EMPTY),
                Arguments.of(invalid, OK + "Content-Length: 0\r\n" + EMPTY),
                Arguments.of(invalid, OK + "Content-Length: 5\r\n" + EMPTY),
                Arguments.of(invalid, OK + "Content-Length: 0, 0\r\n\r\n"),
                Arguments.of(invalid, OK + "Content-Length: -1\r\n\r\n"),
                Arguments.of(
                        "malformed head: ContentLengthNotAllowedException",
                        OK + "Transfer-Encoding: chunked\r\n" + EMPTY),
                Arguments.of(
                        "malformed head: TransferEncodingNotAllowedException",
                        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(coding, OK + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(coding, OK + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(invalid, OK + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of(coding, OK + "Transfer-Encoding: identity\r\n\r\nhello"),
                Arguments.of(coding, OK + "Transfer-Encoding:\r\n\r\nhello"),
                Arguments.of(
                        "switch to a protocol that was not requested",
                        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\nhello"),
                Arguments.of(
                        "malformed head: TooLongHttpLineException",
                        "HTTP/1.1 200 " + "O".repeat(MAX_LINE_BYTES) + "\r\n" + EMPTY),
                Arguments.of(
                        "malformed head: TooLongHttpHeaderException",
                        OK + "X-Id: " + "a".repeat(MAX_BYTES) + "\r\n" + EMPTY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0\r\nHTTP/1.1 500 Error\r\nX-Id: real\r\n\r\n",
                "0\r\nX-Id: HTTP/1.1 500 Error\r\n\r\n",
                "0\r\nX-IdHTTP/1.1 500 Error: a\r\n\r\n",
                "0\r\nX-Id : a\r\n\r\n",
                "0\r\n X-Id: a\r\n\r\n",
                "0\r\nX-Id: a\r\n b\r\n\r\n",
                "0\r\nX-Id: a\n\r\n",
                "0\r\nX-Id\r\n\r\n",
                "0\r\nContent-Length: 5\r\n\r\n",
                "0\r\nX-Id: a\r\ntransfer-encoding: chunked\r\n\r\n",
                "0HTTP/1.1 500 Error\r\nX-Id: real\r\n\r\n",
                "0;HTTP/1.1 500 Error\r\nX-Id: real\r\n\r\n",
                "0;name=HTTP/1.1 500 Error\r\nX-Id: real\r\n\r\n",
                "0;name=\"HTTP/1.1 500 Error\r\nX-Id: real\r\n\r\n",
                "5\r\nhelloHTTP/1.1 500 Error\r\n0\r\n\r\n",
                "5\nhello\r\n0\r\n\r\n",
                "five\r\nhello\r\n0\r\n\r\n"
            })
    void malformedChunkOrTrailerIsRejected(String body) {
        for (List<String> pieces : List.of(List.of(CHUNKED + body), DecodedResponse.bytes(CHUNKED + body))) {
            List<DecodedResponse> decoded = strict(pieces);
            assertEquals(1, decoded.size(), decoded::toString);
            assertNotEquals("", decoded.get(0).failure());
            assertEquals("", decoded.get(0).trailers());
        }
    }

    /** A stale response that stopped within its head lent its status to the headers and body of the next response. */
    @ParameterizedTest
    @MethodSource("cutResponses")
    void cutResponseIsNotJoinedWithTheNext(String stale, String real) {
        List<String> sentHeads = sentHeads(stale, real);
        List<String> sentTrailers = strict(List.of(stale + real)).stream()
                .map(DecodedResponse::trailers)
                .toList();
        for (int cut = 0; cut <= stale.length(); cut++) {
            String input = stale.substring(0, cut) + real;
            for (List<String> pieces : List.of(List.of(input), DecodedResponse.bytes(input))) {
                for (DecodedResponse decoded : strict(pieces)) {
                    String description = "cut at " + cut + ": " + decoded;
                    assertTrue(decoded.head().isEmpty() || sentHeads.contains(decoded.head()), description);
                    assertTrue(decoded.trailers().isEmpty() || sentTrailers.contains(decoded.trailers()), description);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("cutResponses")
    void responseAfterACompleteOneIsDecoded(String stale, String real) {
        List<DecodedResponse> separate = new ArrayList<>(strict(List.of(stale)));
        separate.addAll(strict(List.of(real)));
        assertEquals(separate.toString(), strict(List.of(stale + real)).toString());
    }

    static Stream<Arguments> cutResponses() {
        return completeResponses().flatMap(stale -> realResponses().map(real -> Arguments.of(stale, real)));
    }

    static Stream<String> completeResponses() {
        return Stream.of(
                OK + "Content-Type: text/plain\r\nX-Id: stale\r\nX-Seal: seal-1\r\nContent-Length: 5\r\n\r\nhello",
                OK + "X-Id: stale\r\nX-Seal: seal-1\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nhello",
                OK + "X-Seal: seal-1\r\nContent-Length: 5\r\nX-Id: stale\r\nContent-Type: text/plain\r\n\r\nhello",
                "HTTP/1.1 200 \r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\nX-Seal: seal-1\r\nX-Id: stale\r\n\r\n",
                "HTTP/1.1 200\r\nX-Id: stale\r\nX-Seal: seal-1\r\n" + EMPTY,
                "HTTP/1.0 203 Non-Authoritative Information\r\nX-Id: stale\r\nX-Seal: seal-1\r\n" + EMPTY,
                "HTTP/1.1 100 Continue\r\n\r\n" + OK + "X-Id: stale\r\nX-Seal: seal-1\r\n" + EMPTY,
                "HTTP/1.1 204 No Content\r\nX-Id: stale\r\nX-Seal: seal-1\r\n\r\n",
                OK + "X-Id: stale\r\nX-Seal: seal-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                CHUNKED.replace("\r\n\r\n", "\r\nX-Id: stale\r\n\r\n")
                        + "5;a=b;c=\"d\"\r\nhello\r\n0;e\r\nX-Seal: seal-1\r\nX-Count: 2\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("realResponses")
    void responseAfterAnUnframedOneIsPartOfItsBody(String real) {
        String stale = OK + "X-Id: stale\r\nX-Seal: seal-1\r\n\r\nhello";
        List<String> sentHeads = sentHeads(stale, real);
        for (int cut = 0; cut <= stale.length(); cut++) {
            for (DecodedResponse decoded : strict(DecodedResponse.bytes(stale.substring(0, cut) + real))) {
                assertTrue(decoded.head().isEmpty() || sentHeads.contains(decoded.head()), decoded::toString);
            }
        }
    }

    static Stream<String> realResponses() {
        String headers = "X-Id: real\r\nX-Seal: seal-2\r\n";
        return Stream.of(
                "HTTP/1.1 500 Internal Server Error\r\n" + headers + "Content-Length: 4\r\n\r\nfail",
                "HTTP/1.1 502 Error: no\r\nContent-Length: 4\r\n" + headers + "\r\nfail",
                "HTTP/1.1 503\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n",
                "HTTP/1.0 404 \r\nContent-Type: text/plain\r\n" + headers + "\r\nfail");
    }

    @Test
    void inputIsHeldBetweenTheFirstAndTheLastByteOfAResponse() {
        completeResponses().forEach(response -> {
            if (response.contains("100 Continue")) {
                return;
            }
            StrictResponseDecoder decoder = strictDecoder();
            EmbeddedChannel channel = new EmbeddedChannel(decoder);
            for (int round = 0; round < 2; round++) {
                for (int index = 0; index < response.length(); index++) {
                    assertEquals(index > 0, decoder.withinMessage(), response.substring(0, index));
                    write(channel, response.substring(index, index + 1));
                }
                assertFalse(decoder.withinMessage(), response);
            }
            channel.finishAndReleaseAll();
        });
    }

    @Test
    void unframedBodyIsHeldUntilTheConnectionEnds() {
        StrictResponseDecoder decoder = strictDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        write(channel, OK + "\r\nhello");
        assertTrue(decoder.withinMessage());
        channel.finishAndReleaseAll();
        assertFalse(decoder.withinMessage());
    }

    @Test
    void inputAfterACompleteResponseIsHeld() {
        StrictResponseDecoder decoder = strictDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        write(channel, OK + EMPTY + "HTT");
        assertTrue(decoder.withinMessage());
        channel.finishAndReleaseAll();
    }

    @Test
    void inputAfterTheEndOfAResponseIsHeldWhenTheEndIsEmitted() {
        for (String extra : List.of("", "H", OK)) {
            StrictResponseDecoder decoder = strictDecoder();
            List<Boolean> held = new ArrayList<>();
            EmbeddedChannel channel = new EmbeddedChannel(decoder, new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (message instanceof LastHttpContent) {
                        held.add(decoder.withinMessage());
                    }
                    ReferenceCountUtil.release(message);
                }
            });
            write(channel, OK + "Content-Length: 5\r\n\r\nhello" + extra);
            assertEquals(List.of(!extra.isEmpty()), held, extra);
            channel.finishAndReleaseAll();
        }
    }

    @Test
    void inputAfterTheEndOfAResponseIsToldFromTheNextResponse() {
        for (String extra : List.of("", "H", OK, "X-Id: 1", " ")) {
            StrictResponseDecoder decoder = strictDecoder();
            List<Boolean> noResponse = new ArrayList<>();
            List<Integer> bytes = new ArrayList<>();
            EmbeddedChannel channel = new EmbeddedChannel(decoder, new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (message instanceof LastHttpContent && noResponse.isEmpty()) {
                        noResponse.add(decoder.undecodedIsNoResponse());
                        bytes.add(decoder.undecodedBytes());
                    }
                    ReferenceCountUtil.release(message);
                }
            });
            write(channel, OK + "Content-Length: 5\r\n\r\nhello" + extra);
            assertEquals(List.of(!extra.isEmpty() && !extra.startsWith("H")), noResponse, extra);
            assertEquals(List.of(extra.length()), bytes, extra);
            channel.finishAndReleaseAll();
        }
    }

    @Test
    void rejectedResponseIsHeld() {
        StrictResponseDecoder decoder = strictDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        write(channel, "\r\n");
        assertTrue(decoder.withinMessage());
        channel.finishAndReleaseAll();
    }

    /** Header values and bodies may contain keys, which must not reach the log. */
    @Test
    void errorsContainNoReceivedBytes() {
        for (String input : List.of(
                "Hsecret/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 secret OK\r\n\r\n",
                "HTTP/1.1 200 secret\rx\r\n\r\n",
                OK + "secret(: a\r\n\r\n",
                OK + "X-Id: secret\rx\r\n\r\n",
                OK + "Content-Length: secret\r\n\r\n",
                OK + "Transfer-Encoding: secret\r\n\r\n",
                CHUNKED + "secret\r\n",
                CHUNKED + "0;name=\"secret\r\n\r\n",
                CHUNKED + "0\r\nsecret(: secret\r\n\r\n")) {
            String failure = strict(List.of(input)).get(0).failure();
            assertNotEquals("", failure, input);
            assertFalse(failure.contains("secret"), failure);
        }
    }

    @Test
    void limitsMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> new StrictResponseDecoder(0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new StrictResponseDecoder(1, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> new StrictResponseDecoder(1, 1, 0));
    }

    private static List<String> sentHeads(String stale, String real) {
        List<String> heads = new ArrayList<>();
        for (String sent : List.of(stale, real)) {
            strict(List.of(sent)).forEach(response -> heads.add(response.head()));
        }
        return heads;
    }

    private static StrictResponseDecoder strictDecoder() {
        return new StrictResponseDecoder(MAX_LINE_BYTES, MAX_BYTES, MAX_BYTES);
    }

    private static List<DecodedResponse> strict(List<String> pieces) {
        return DecodedResponse.decode(strictDecoder(), pieces);
    }

    private static List<DecodedResponse> lenient(List<String> pieces) {
        return DecodedResponse.decode(new HttpResponseDecoder(MAX_LINE_BYTES, MAX_BYTES, MAX_BYTES), pieces);
    }

    private static void write(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
