// Package registrar keeps which version of the software of a service began each stream,
// so that any entry can have the stream resumed at a target of that version. What two
// versions write does not fit together, and targets do not check it.
//
// The entry that passes the first event on makes a record of the stream before. It keeps
// the record itself and sends it to a few holders: sidecars, which go on when all entries
// end at once. The holders are chosen by rendezvous hashing of the stream and the hosts,
// in different availability zones, so that an entry knows whom to ask. A sidecar that
// stops passes its records on. Records end some time after the deadline of the request,
// when its caller has given up.
//
// If nobody has a record, the stream may be resumed only if a single version has been in
// service for as long as the stream can have lasted. The process reads the list of targets
// again for that, must have followed it for that time, and must not be contradicted by a
// holder.
package registrar
