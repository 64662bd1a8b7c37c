package org.plantainshunt.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Optional;

import org.plantainshunt.configuration.DocumentContent.KindName;
import org.plantainshunt.configuration.DocumentContent.RegionPair;

/**
 * A valid configuration document.
 *
 * <p>In a document from {@link #parse}, all references between its parts resolve, the calls between kinds form no
 * cycle, and each value is within its range; {@link DocumentBuilder} checks only that the services of kinds and routes
 * exist. Collections keep the order of the document. Immutable and safe for use by any thread.
 *
 * <pre>{@code
 * Document document = Document.parse(bytes);
 * Optional<Kind> kind = document.kind("scheduler", "push-schedule");
 * }</pre>
 */
public final class Document {
    /** The maximum size of a document in bytes, which is the largest value that the configuration service stores. */
    public static final int MAX_BYTES = 1_000_000;

    private final byte[] bytes;
    private final DocumentVersion version;
    private final DocumentContent content;

    Document(byte[] bytes, DocumentContent content) {
        this.bytes = bytes;
        this.version = new DocumentVersion(content.number, digest(bytes));
        this.content = content;
    }

    /**
     * Parses and checks a document; the result depends on the bytes alone.
     *
     * @param bytes the document as UTF-8 text, at most 1,000,000 bytes
     * @return the document
     * @throws InvalidDocumentException with all errors, if there is any
     */
    public static Document parse(byte[] bytes) throws InvalidDocumentException {
        byte[] copy = bytes.clone();
        return new Document(copy, new DocumentParser().parse(copy));
    }

    /** Returns the SHA-256 of a document's bytes in lower-case hexadecimal, valid or not. */
    public static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the version, by which all nodes order documents. */
    public DocumentVersion version() {
        return version;
    }

    /** Returns the name that the document states, for display. */
    public String name() {
        return content.name;
    }

    /** Returns a copy of the bytes that were parsed. */
    public byte[] bytes() {
        return bytes.clone();
    }

    /** Returns the settings that apply to all services. */
    public Policy policy() {
        return content.policy;
    }

    /** Returns the service of this name, if there is one. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(content.services.get(name));
    }

    /** Returns all services. */
    public Collection<Service> services() {
        return Collections.unmodifiableCollection(content.services.values());
    }

    /** Returns the kind of request of this name, if the service has one. */
    public Optional<Kind> kind(String service, String kind) {
        return Optional.ofNullable(content.kinds.get(new KindName(service, kind)));
    }

    /** Returns the kinds of request of all services. */
    public Collection<Kind> kinds() {
        return Collections.unmodifiableCollection(content.kinds.values());
    }

    /** Returns the routes by host and path; empty if requests name their service and kind themselves. */
    public RouteTable routes() {
        return content.routes;
    }

    /** Returns the size and time limits for requests of callers. */
    public RequestLimits requestLimits() {
        return content.requestLimits;
    }

    /** Returns the names of all regions. */
    public Collection<String> regions() {
        return Collections.unmodifiableCollection(content.regions);
    }

    /** Returns the data centre of this name, if there is one. */
    public Optional<DataCentre> dataCentre(String name) {
        return Optional.ofNullable(content.dataCentres.get(name));
    }

    /** Returns all data centres. */
    public Collection<DataCentre> dataCentres() {
        return Collections.unmodifiableCollection(content.dataCentres.values());
    }

    /** Returns the link between two regions, given in either order, if there is one. */
    public Optional<Link> link(String regionA, String regionB) {
        return Optional.ofNullable(content.links.get(RegionPair.of(regionA, regionB)));
    }

    /** Returns all links between regions. */
    public Collection<Link> links() {
        return Collections.unmodifiableCollection(content.links.values());
    }

    @Override
    public String toString() {
        return content.name + " " + version.number();
    }
}
