package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Mapping between HTTP headers and the metadata that callers, routers and backend servers exchange. */
public interface RequestDialect {

    /**
     * Reads the metadata of a caller's request.
     *
     * @param request request line and headers
     * @return metadata
     * @throws MalformedRequestException if a header is invalid
     */
    RequestMetadata readRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * Creates the headers of a request to a server.
     *
     * <p>Omits headers that only the router may set, the API key, and hop-by-hop headers of the caller's connection.
     *
     * @param callerHeaders headers of the caller
     * @param metadata metadata that the router adds
     * @return new headers without a body length
     */
    HttpHeaders serverHeaders(HttpHeaders callerHeaders, ForwardMetadata metadata);

    /**
     * Reads the metadata of a server's response.
     *
     * @param response status line and headers
     * @return metadata
     */
    ResponseMetadata readResponse(HttpResponse response);
}
