package org.coltsfootquay.router.platform;

import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** Client of the table service over HTTP. */
final class TableStoreClient implements TableStore {

    private static final int MAX_OPERATIONS = 100;

    private final PlatformCallExecutor callExecutor;

    TableStoreClient(PlatformCallExecutor callExecutor) {
        this.callExecutor = callExecutor;
    }

    @Override
    public void writeAtomically(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
        write(true, writes, callback);
    }

    @Override
    public void writeIndependently(List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
        write(false, writes, callback);
    }

    @Override
    public void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback) {
        callExecutor.read(
                "/v1/table/row?key=" + encode(key),
                reply -> {
                    if (reply.hasStatus(404)) {
                        return Optional.empty();
                    }
                    return Optional.of(
                            TableJsonCodec.decodeRow(reply.requireStatus(200).body()));
                },
                callback);
    }

    @Override
    public void changes(
            List<String> prefixes, long sinceRevision, Consumer<Either<StoreException, RowChanges>> callback) {
        StringBuilder path = new StringBuilder("/v1/table/changes?");
        for (String prefix : prefixes) {
            path.append("prefix=").append(encode(prefix)).append('&');
        }
        path.append("since=").append(sinceRevision);
        callExecutor.read(
                path.toString(),
                reply -> TableJsonCodec.decodeChanges(reply.requireStatus(200).body()),
                callback);
    }

    private void write(boolean atomic, List<RowWrite> writes, Consumer<List<WriteResult>> callback) {
        int size = writes.size();
        if (size == 0 || size > MAX_OPERATIONS) {
            throw new IllegalArgumentException(
                    "batch has " + size + " writes but must have 1 to " + MAX_OPERATIONS + "; split it");
        }
        callExecutor.write(
                "POST",
                "/v1/table/batch",
                TableJsonCodec.encodeBatch(atomic, writes),
                reply -> callback.accept(toResults(reply, size)));
    }

    private static List<WriteResult> toResults(PlatformReply reply, int size) {
        if (reply.hasStatus(200)) {
            return TableJsonCodec.decodeResults(reply.body(), size)
                    .orElseGet(() -> repeat(size, WriteResult.unknown()));
        }
        // The platform validates a batch before it applies any of it, so status 400 means that nothing was applied.
        if (reply.hadNoEffect() || reply.hasStatus(400)) {
            return repeat(size, new WriteResult(WriteOutcome.NOT_APPLIED, 0, Optional.empty()));
        }
        return repeat(size, WriteResult.unknown());
    }

    private static List<WriteResult> repeat(int size, WriteResult result) {
        return Collections.nCopies(size, result);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
