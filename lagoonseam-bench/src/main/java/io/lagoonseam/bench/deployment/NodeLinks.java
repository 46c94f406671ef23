package io.lagoonseam.bench.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.forward.RecordDecoder;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.standin.link.CuttableLink;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The links from one node to all workers: the node finds the ports of its links in the records of the workers. */
final class NodeLinks implements RecordDecoder, AutoCloseable {

    private final RecordDecoder decoder;
    private final Map<Integer, CuttableLink> links = new HashMap<>();
    private CuttableLink.Cut cut = CuttableLink.Cut.NONE;

    NodeLinks(RecordDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public JsonNode content(String collection, byte[] bytes) throws IOException {
        return decoder.content(collection, bytes);
    }

    @Override
    public Optional<RoutingConfiguration> configuration(CollectionObject object) {
        return decoder.configuration(object);
    }

    @Override
    public synchronized Optional<UpstreamRecord> upstream(CollectionObject object) {
        return decoder.upstream(object)
                .map(record -> new UpstreamRecord(
                        record.id(),
                        record.startMillis(),
                        record.service(),
                        record.softwareVersion(),
                        record.host(),
                        link(record).port(),
                        record.dataCentre(),
                        record.slots(),
                        record.leaving(),
                        record.revision()));
    }

    private CuttableLink link(UpstreamRecord record) {
        return links.computeIfAbsent(record.port(), port -> {
            CuttableLink link = new CuttableLink(record.host(), FreePorts.find(), port);
            link.cut(cut);
            return link;
        });
    }

    synchronized void cut(CuttableLink.Cut value) {
        cut = value;
        links.values().forEach(link -> link.cut(value));
    }

    @Override
    public synchronized void close() {
        links.values().forEach(CuttableLink::close);
    }
}
