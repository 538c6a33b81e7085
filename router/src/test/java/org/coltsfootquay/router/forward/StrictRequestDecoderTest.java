package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

final class StrictRequestDecoderTest {

    private static final String REST = "Host: host\r\nContent-Length: 0\r\n\r\n";

    private static final Map<String, String> MALFORMED = new TreeMap<>(Map.ofEntries(
            Map.entry("joined within the target", "POST /oncGET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("joined after the request line", "POST /once/a HTTP/1.1GET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("joined at a line end", "POST /once/a HTTP/1.1\r\nGET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("joined within a name", "POST /once/a HTTP/1.1\r\nX-IdGET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("joined with a colon in the target", "POST /once/a HTTP/1.1\r\nX-GET /b:c HTTP/1.1\r\n" + REST),
            Map.entry("joined within a value", "POST /once/a HTTP/1.1\r\nX-Id: oGET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("joined after a colon", "POST /once/a HTTP/1.1\r\nX-Id:GET /safe/b HTTP/1.1\r\n" + REST),
            Map.entry("bare LF after the request line", "POST /once/a HTTP/1.1\n" + REST),
            Map.entry("bare LF after a header", "POST /once/a HTTP/1.1\r\nX-Id: one\n" + REST),
            Map.entry("bare LF at the end", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\n"),
            Map.entry("bare CR in a value", "POST /once/a HTTP/1.1\r\nX-Id: one\rX-Key: two\r\n" + REST),
            Map.entry("folded line", "POST /once/a HTTP/1.1\r\nX-Id: one\r\n two\r\n" + REST),
            Map.entry("folded line with a tab", "POST /once/a HTTP/1.1\r\nX-Id: one\r\n\ttwo\r\n" + REST),
            Map.entry("folded request line", "POST /once/a HTTP/1.1\r\n X-Id: one\r\n" + REST),
            Map.entry("blank before the colon", "POST /once/a HTTP/1.1\r\nX-Id : one\r\n" + REST),
            Map.entry("blank before the colon of a length", "POST /a HTTP/1.1\r\nContent-Length : 5\r\n" + REST),
            Map.entry("empty name", "POST /once/a HTTP/1.1\r\n: one\r\n" + REST),
            Map.entry("NUL in a value", "POST /once/a HTTP/1.1\r\nX-Id: o\0ne\r\n" + REST),
            Map.entry("two lengths", "POST /once/a HTTP/1.1\r\nContent-Length: 4\r\n" + REST),
            Map.entry("two equal lengths", "POST /once/a HTTP/1.1\r\nContent-Length: 0\r\n" + REST),
            Map.entry("list of lengths", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: 0, 0\r\n\r\n"),
            Map.entry("signed length", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: +0\r\n\r\n"),
            Map.entry("negative length", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: -1\r\n\r\n"),
            Map.entry("length that is no number", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: x\r\n\r\n"),
            Map.entry("empty length", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length:\r\n\r\n"),
            Map.entry("two hosts", "POST /once/a HTTP/1.1\r\nHost: other\r\n" + REST),
            Map.entry("length and chunks", chunked("chunked\r\nContent-Length: 3")),
            Map.entry("other coding before chunked", chunked("gzip, chunked")),
            Map.entry("chunked twice", chunked("chunked, chunked")),
            Map.entry("chunked in two headers", chunked("chunked\r\nTransfer-Encoding: chunked")),
            Map.entry("coding that ends with chunked", chunked("xchunked")),
            Map.entry("identity coding", chunked("identity")),
            Map.entry("chunked with a parameter", chunked("chunked;q=1")),
            Map.entry("empty coding", chunked("")),
            Map.entry("chunks in HTTP 1.0", chunked("chunked").replace("HTTP/1.1", "HTTP/1.0")),
            Map.entry("HTTP 0.9 without a version", "GET /safe/a\r\n" + REST),
            Map.entry("HTTP 0.9", "GET /safe/a HTTP/0.9\r\n" + REST),
            Map.entry("HTTP 2.0", "GET /safe/a HTTP/2.0\r\n" + REST),
            Map.entry("version in lower case", "GET /safe/a http/1.1\r\n" + REST),
            Map.entry("other protocol", "GET /safe/a ICAP/1.1\r\n" + REST),
            Map.entry("two blanks in the request line", "GET  /safe/a HTTP/1.1\r\n" + REST),
            Map.entry("tab in the request line", "GET\t/safe/a HTTP/1.1\r\n" + REST),
            Map.entry("method with a colon", "GE:T /safe/a HTTP/1.1\r\n" + REST),
            Map.entry("control characters before the request", "\0\1GET /safe/a HTTP/1.1\r\n" + REST),
            Map.entry("blank before the request", " GET /safe/a HTTP/1.1\r\n" + REST),
            Map.entry("rest of a body before the request", "rest of a bodyGET /safe/a HTTP/1.1\r\n" + REST)));

    private static final Map<String, String> MALFORMED_BODIES = new TreeMap<>(Map.of(
            "chunk size that is no number", "z\r\nabc\r\n0\r\n\r\n",
            "signed chunk size", "+3\r\nabc\r\n0\r\n\r\n",
            "chunk longer than its size", "3\r\nabcd\r\n0\r\n\r\n",
            "bare LF after a chunk size", "3\nabc\r\n0\r\n\r\n",
            "bare LF after a chunk", "3\r\nabc\n0\r\n\r\n",
            "request in place of the trailers", "3\r\nabc\r\n0\r\nGET /safe/b HTTP/1.1\r\n" + REST,
            "request in place of a chunk", "3\r\nabc\r\nGET /safe/b HTTP/1.1\r\n" + REST));

    private static final Map<String, String> PROPER = new TreeMap<>(Map.ofEntries(
            Map.entry("length", "POST /once/a HTTP/1.1\r\nHost: host\r\nContent-Length: 3\r\n\r\nabc"),
            Map.entry("no body", "GET /safe/a HTTP/1.1\r\nHost: host\r\n\r\n"),
            Map.entry("chunks", chunked("chunked")),
            Map.entry("chunked in upper case", chunked("CHUNKED")),
            Map.entry("trailers", chunked("chunked").replace("0\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n")),
            Map.entry("chunk extension", chunked("chunked").replace("3\r\n", "3;a=b\r\n")),
            Map.entry("HTTP 1.0", "GET /safe/a HTTP/1.0\r\nHost: host\r\n\r\n"),
            Map.entry("empty lines before the request", "\r\n\r\nGET /safe/a HTTP/1.1\r\nHost: host\r\n\r\n"),
            Map.entry("absolute target", "GET http://host:80/safe/a HTTP/1.1\r\nHost: host:80\r\n\r\n"),
            Map.entry("value without blanks around", "GET /safe/a HTTP/1.1\r\nHost:host\r\nX-Id:one\r\n\r\n"),
            Map.entry("value with blanks around", "GET /safe/a HTTP/1.1\r\nHost: \t host \t\r\n\r\n"),
            Map.entry("empty value", "GET /safe/a HTTP/1.1\r\nHost: host\r\nX-Id:\r\n\r\n"),
            Map.entry("bytes above 127 in a value", "GET /safe/a HTTP/1.1\r\nHost: host\r\nX-Id: \u00e9\r\n\r\n"),
            Map.entry("protocol name in a value", "GET /safe/a HTTP/1.1\r\nVia: HTTP/1.1 proxy\r\nHost: host\r\n\r\n"),
            Map.entry(
                    "request line in a value after the host",
                    "GET /safe/a HTTP/1.1\r\nHost: host\r\nX-Log: GET /b HTTP/1.1\r\n\r\n"),
            Map.entry("method with the end of another", "PROPPATCH /a HTTP/1.1\r\nHost: host\r\n\r\n"),
            Map.entry("repeated list header", "GET /a HTTP/1.1\r\nHost: host\r\nAccept: a\r\nAccept: b\r\n\r\n")));

    /** Guards against a request whose end or fields another parser would read differently (request smuggling). */
    @Test
    void malformedHeadIsRefused() {
        List<String> accepted = new ArrayList<>();
        MALFORMED.forEach((name, request) -> {
            for (int cut = 0; cut <= request.length(); cut++) {
                if (!decode(request, cut).get(0).equals("refused")) {
                    accepted.add(name + " in parts of " + cut);
                    break;
                }
            }
        });
        assertEquals(List.of(), accepted);
    }

    /** Guards against a body that ends elsewhere than the caller meant, so that its rest is read as a request. */
    @Test
    void malformedChunksAreRefused() {
        List<String> accepted = new ArrayList<>();
        MALFORMED_BODIES.forEach((name, body) -> {
            String head = chunked("chunked");
            String request = head.substring(0, head.indexOf("\r\n\r\n") + 4) + body;
            for (int cut = 0; cut <= request.length(); cut++) {
                List<String> decoded = decode(request, cut);
                if (!decoded.contains("refused") || decoded.contains("complete")) {
                    accepted.add(name + " in parts of " + cut);
                    break;
                }
            }
        });
        assertEquals(List.of(), accepted);
    }

    /** Guards against strictness that refuses requests as HTTP permits them, also the second one of a connection. */
    @Test
    void properRequestsAreDecoded() {
        List<String> refused = new ArrayList<>();
        PROPER.forEach((name, request) -> {
            for (int cut = 0; cut <= 2 * request.length(); cut++) {
                if (!decode(request + request, cut).equals(List.of("head", "complete", "head", "complete"))) {
                    refused.add(name + " in parts of " + cut);
                    break;
                }
            }
        });
        assertEquals(List.of(), refused);
    }

    /** Guards against a request with fields of two, after a caller gave up in the middle of a head. */
    @Test
    void requestAfterTheBeginningOfAnotherIsRefused() {
        String second = "POST /once/b HTTP/1.1\r\nHost: host\r\nX-Key: b\r\nX-Id: two\r\nContent-Length: 0\r\n\r\n";
        List<String> first = List.of(
                "GET /safe/a HTTP/1.1\r\nHost: host\r\nX-Key: a\r\nX-Id: one\r\n\r\n",
                "PUT /once/a HTTP/1.1\r\nX-Key: a\r\nX-Id: one\r\nContent-Length: 0\r\nHost: host\r\n\r\n",
                "DELETE http://host/a HTTP/1.1\r\nX-Id: one\r\nX-Key: a\r\nHost: host\r\n\r\n");
        List<String> accepted = new ArrayList<>();
        for (String request : first) {
            for (int end = 1; end < request.length(); end++) {
                String begun = request.substring(0, end);
                if (!decode(begun + second, end).get(0).equals("refused")) {
                    accepted.add(begun);
                }
            }
        }
        assertEquals(List.of(), accepted);
    }

    private static String chunked(String coding) {
        return "POST /once/a HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: " + coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    }

    /** Decodes a text that arrives in two parts, up to the first refusal. */
    private static List<String> decode(String text, int cut) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(8192));
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, cut));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, cut, bytes.length - cut));
        List<String> decoded = new ArrayList<>();
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            if (!decoded.contains("refused")) {
                if (part.decoderResult().isFailure()) {
                    decoded.add("refused");
                } else if (part instanceof HttpRequest) {
                    decoded.add("head");
                }
                if (part instanceof LastHttpContent && !decoded.contains("refused")) {
                    decoded.add("complete");
                }
            }
            ReferenceCountUtil.release(part);
        }
        channel.finishAndReleaseAll();
        return decoded.isEmpty() ? List.of("nothing") : decoded;
    }
}
