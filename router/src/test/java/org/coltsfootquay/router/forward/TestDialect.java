package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptPart;

/** Request dialect with simple header names for tests. */
final class TestDialect implements RequestDialect {

    @Override
    public RequestMetadata readRequest(HttpRequest request) {
        HttpHeaders headers = request.headers();
        return new RequestMetadata(
                headers.get("X-Id", ""),
                headers.get("Host", ""),
                Optional.ofNullable(headers.get("X-Key")),
                Optional.ofNullable(headers.get("X-Deadline")).map(text -> Duration.ofMillis(Long.parseLong(text))),
                headers.get("X-Model", ""),
                prompt(headers.get("X-Parts", "")));
    }

    private static Prompt prompt(String parts) {
        if (parts.isEmpty()) {
            return Prompt.NONE;
        }
        List<PromptPart> list = Arrays.stream(parts.split(",", -1))
                .map(id -> new PromptPart(id, 10))
                .toList();
        return new Prompt(list, 10 * list.size(), 10);
    }

    @Override
    public HttpHeaders serverHeaders(HttpHeaders callerHeaders, ForwardMetadata metadata) {
        HttpHeaders headers = HeaderUtils.copyEndToEnd(callerHeaders);
        headers.set("X-Deadline", metadata.remaining().toMillis());
        headers.set("X-Sent", System.nanoTime());
        headers.set("X-Server", metadata.server().server().value());
        metadata.resumeAfter().ifPresent(id -> headers.set("X-Resume", id));
        return headers;
    }

    @Override
    public ResponseMetadata readResponse(HttpResponse response) {
        HttpHeaders headers = response.headers();
        List<String> requestIds = headers.getAll("X-Id");
        return new ResponseMetadata(
                requestIds.size() == 1 ? requestIds.get(0) : "",
                headers.contains("X-Seal"),
                headers.contains("X-Not-Run"),
                headers.contains("Content-Encoding"),
                headers.contains("X-Leaving"));
    }
}
