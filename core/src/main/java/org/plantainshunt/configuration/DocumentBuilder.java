package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.configuration.DocumentContent.KindName;

/**
 * Assembles a document from its parts, for a configuration that is not in the notation of {@link Document#parse}.
 *
 * <p>Confined to one thread and used for one document.
 *
 * <pre>{@code
 * Document document = new DocumentBuilder(12, "platform").dataCentre("erie-1", "lake-erie")
 *         .service(service).kind(kind).route(route).build(bytes);
 * }</pre>
 */
public final class DocumentBuilder {
    private final DocumentContent content = new DocumentContent();
    private final List<Route> routes = new ArrayList<>();

    /**
     * Creates a builder for a document.
     *
     * @param number the version that the document states
     * @param name the name of the document, for display
     */
    public DocumentBuilder(long number, String name) {
        content.number = number;
        content.name = name;
    }

    /** Adds a data centre and its region. */
    public DocumentBuilder dataCentre(String name, String region) {
        content.regions.add(region);
        content.dataCentres.put(name, new DataCentre(name, region));
        return this;
    }

    /** Adds a service. */
    public DocumentBuilder service(Service service) {
        content.services.put(service.name(), service);
        return this;
    }

    /** Adds a kind of request. */
    public DocumentBuilder kind(Kind kind) {
        content.kinds.put(new KindName(kind.service(), kind.name()), kind);
        return this;
    }

    /** Adds a route. */
    public DocumentBuilder route(Route route) {
        routes.add(route);
        return this;
    }

    /** Sets the size and time limits for requests of callers. */
    public DocumentBuilder requestLimits(RequestLimits limits) {
        content.requestLimits = limits;
        return this;
    }

    /** Sets the settings that apply to all services. */
    public DocumentBuilder policy(Policy policy) {
        content.policy = policy;
        return this;
    }

    /**
     * Returns the document.
     *
     * @param bytes the bytes that it was read from; their digest orders documents of the same number
     * @throws InvalidDocumentException if a kind or a route refers to a service that the document does not define
     */
    public Document build(byte[] bytes) throws InvalidDocumentException {
        ErrorList errors = new ErrorList();
        content.kinds.values().forEach(kind -> check(kind.service(), "kind " + kind.name(), errors));
        routes.forEach(route -> route.parts().forEach(part -> check(part.service(), "route " + route.name(), errors)));
        if (!errors.isEmpty()) {
            throw new InvalidDocumentException(errors.inOrder());
        }
        content.routes = new RouteTable(routes);
        return new Document(bytes.clone(), content);
    }

    private void check(String service, String referrer, ErrorList errors) {
        if (!content.services.containsKey(service)) {
            errors.add(
                    DocumentErrorCode.UNKNOWN_SERVICE,
                    referrer + " names the service " + ErrorList.quote(service) + ", which the document lacks");
        }
    }
}
