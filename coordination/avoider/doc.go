// Package avoider keeps which targets have told this process, in their answers, that they
// want no further requests from it, for a time or until they have left. The list of targets
// tells the latter later, and not while the store is away.
package avoider
