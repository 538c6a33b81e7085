package org.coltsfootquay.router.platform;

import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.StoreException.Kind;
import org.coltsfootquay.decision.store.WriteOutcome;

/** Client of the object store over HTTP. */
final class ObjectStoreClient implements ObjectStore {

    private final PlatformCallExecutor callExecutor;

    ObjectStoreClient(PlatformCallExecutor callExecutor) {
        this.callExecutor = callExecutor;
    }

    @Override
    public void put(String name, byte[] content, Consumer<WriteOutcome> callback) {
        callExecutor.write("PUT", path(name), content, reply -> callback.accept(toOutcome(reply)));
    }

    @Override
    public void get(String name, Consumer<Either<StoreException, byte[]>> callback) {
        callExecutor.read(
                path(name),
                reply -> {
                    if (reply.hasStatus(404)) {
                        throw new StoreException(
                                Kind.NOT_FOUND,
                                "object " + name + " does not exist; read the current object name again");
                    }
                    return reply.requireStatus(200).body();
                },
                callback);
    }

    private static WriteOutcome toOutcome(PlatformReply reply) {
        if (reply.hasStatus(204) || reply.hasStatus(200)) {
            return WriteOutcome.APPLIED;
        }
        return reply.hadNoEffect() || reply.hasStatus(409) || reply.hasStatus(400)
                ? WriteOutcome.NOT_APPLIED
                : WriteOutcome.UNKNOWN;
    }

    private static String path(String name) {
        String encoded = URLEncoder.encode(name, StandardCharsets.UTF_8);
        return "/v1/objects/" + encoded.replace("+", "%20").replace("%2F", "/");
    }
}
