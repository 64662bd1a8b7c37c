package org.plantainshunt.protocol;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** An endpoint on a loopback port with recording handlers. */
final class FakeNode extends RecordingHandler implements AutoCloseable {
    final InnerEndpoint endpoint;
    final int port;

    FakeNode(String vm) throws IOException {
        this(vm, SECRET);
    }

    FakeNode(String vm, String secret) throws IOException {
        endpoint = new InnerEndpoint(settings(vm, secret), this, this);
        port = endpoint.listen("127.0.0.1", 0);
    }

    InnerConnection connectTo(FakeNode other) throws Exception {
        return endpoint.connect("127.0.0.1", other.port).get(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
